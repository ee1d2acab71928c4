/** Which parts of prompts a fleet of 64 daemons holds when answers take seconds. */
import { testLongAnswers } from './testSupport/longAnswerTests.js';

testLongAnswers(64, [1]);
