/** A process that has loaded all that the daemon loads, and starts none of it. */
import '@snipehaven/daemon';
import { stayIdle } from './stayIdle.js';

stayIdle();
