import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
console.log(Object.keys(configs), Object.keys(configs.base), Object.keys(configs.node??{}), Object.keys(plugins), Object.keys(rules), Object.keys(rules.typescript));
export default [];
