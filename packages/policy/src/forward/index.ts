export * from './chooseModelStep.js';
export * from './choosePlace.js';
export * from './decideAttempt.js';
export * from './judgeVersion.js';
export * from './pickTarget.js';
export * from './repeatBudget.js';
export * from './rolloutSchedule.js';
export * from './workPace.js';
