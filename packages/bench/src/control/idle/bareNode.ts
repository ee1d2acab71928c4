/** A process of Node alone. */
import { stayIdle } from './stayIdle.js';

stayIdle();
