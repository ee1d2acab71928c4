export { digestRequest, type DigestedRequest } from './requestDigest.js';
