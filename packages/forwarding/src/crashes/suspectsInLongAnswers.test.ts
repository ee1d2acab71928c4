/** Which parts of prompts small fleets hold when answers take seconds. */
import { testLongAnswers } from './testSupport/longAnswerTests.js';

testLongAnswers(2, [1, 2, 3, 4]);
testLongAnswers(9, [1, 2, 3, 4]);
