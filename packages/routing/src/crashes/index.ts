export { CrashTally, type LostChat } from './crashTally.js';
export { digestChat } from './digestChat.js';
export { refuseHeld } from './refuseHeld.js';
