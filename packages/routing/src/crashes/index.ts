export { CrashTracker, type CrashedChat as LostChat } from './crashTracker.js';
export { digestChat } from './digestChat.js';
export { assertNotHeld as refuseHeld } from './assertNotHeld.js';
