/** Turns the schemas of the kinds into docs of their fields. */
import { z } from 'zod';
import { kindSchemas, type Kind } from '@snipehaven/resources';

/** What an operator should know of one field. */
export interface FieldDoc {
  /** Dotted path, such as `spec.limits.concurrency`; `*` stands for a name, `[]` for an item. */
  readonly path: string;
  readonly type: string;
  readonly isRequired: boolean;
  readonly description: string;
  readonly default?: unknown;
  /** Bounds and forms, such as `minimum 0`. */
  readonly rules: readonly string[];
}

type JsonSchema = z.core.JSONSchema.JSONSchema;

const RULE_KEYWORDS = [
  'minimum',
  'maximum',
  'exclusiveMinimum',
  'exclusiveMaximum',
  'minItems',
  'maxLength',
  'pattern',
  'format',
  'enum',
] as const;

const isSchema = (value: unknown): value is JsonSchema =>
  typeof value === 'object' && value !== null;

/** Zod writes the bounds of a safe integer; they tell an operator nothing. */
const isTelling = (value: unknown): boolean =>
  value !== undefined && value !== Number.MAX_SAFE_INTEGER && value !== Number.MIN_SAFE_INTEGER;

const listRules = (schema: JsonSchema): readonly string[] =>
  RULE_KEYWORDS.filter((keyword) => isTelling(schema[keyword])).map((keyword) => {
    const value = schema[keyword];
    return `${keyword} ${Array.isArray(value) ? value.join(' | ') : String(value)}`;
  });

const getType = (schema: JsonSchema): string => {
  if (schema.type === 'array' && isSchema(schema.items)) {
    return `list of ${getType(schema.items)}`;
  }
  return String(schema.type ?? 'any');
};

const listChildren = (schema: JsonSchema, path: string): readonly FieldDoc[] => {
  const required = new Set(schema.required ?? []);
  const named = Object.entries(schema.properties ?? {}).flatMap(([key, child]) =>
    isSchema(child) ? listFields(child, `${path}.${key}`, required.has(key)) : [],
  );
  const others = isSchema(schema.additionalProperties)
    ? listFields(schema.additionalProperties, `${path}.*`, false)
    : [];
  const items = isSchema(schema.items) ? listChildren(schema.items, `${path}[]`) : [];
  return [...named, ...others, ...items];
};

const listFields = (schema: JsonSchema, path: string, isRequired: boolean): readonly FieldDoc[] => {
  const doc: FieldDoc = {
    path,
    type: getType(schema),
    isRequired,
    description: schema.description ?? '',
    ...(schema.default === undefined ? {} : { default: schema.default }),
    rules: listRules(schema),
  };
  return [doc, ...listChildren(schema, path)];
};

/** The docs of a kind's fields below `spec`, parents before children. */
export const explainKind = (kind: Kind): readonly FieldDoc[] => {
  const schema = z.toJSONSchema(kindSchemas[kind], { io: 'input' });
  return listChildren(schema, 'spec');
};
