export * from './chooseModelStep.js';
export * from './choosePlace.js';
export * from './decideAttempt.js';
export * from './repeatBudget.js';
