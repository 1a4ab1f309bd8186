export * from './audit_reader.js';
export * from './control_routes.js';
export {ERROR_CODE_HEADER} from './connect_errors.js';
export * from './operator_tokens.js';
export * from './rules_explainer.js';
export * from './version_ruling_service.js';
