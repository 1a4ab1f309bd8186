export * from './session_token.js';
