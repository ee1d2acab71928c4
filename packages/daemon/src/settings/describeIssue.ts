/** Says of one fault in the settings which field it is in and what was expected there. */
import type { z } from 'zod';

type Issue = z.core.$ZodIssue;
type IssueCode = Issue['code'];

/** A fault: the field by its path, and the rule it breaks. */
interface Fault {
  readonly field: string;
  readonly rule: string;
}

type Describe<Code extends IssueCode> = (issue: Extract<Issue, { code: Code }>) => readonly Fault[];

const toField = (path: readonly PropertyKey[]): string =>
  path.map(String).join('.') || '(whole file)';

const describeOther = (issue: Issue): readonly Fault[] => [
  { field: toField(issue.path), rule: issue.message },
];

/** Rules of all options of a union, without what they say in common. */
const describeUnion: Describe<'invalid_union'> = (issue) => {
  const rules = issue.errors
    .flat()
    .flatMap((option) => describeIssue({ ...option, path: [] }))
    .map(({ rule }) => rule);
  return [{ field: toField(issue.path), rule: [...new Set(rules)].join(', or ') }];
};

const describeUnknownKeys: Describe<'unrecognized_keys'> = (issue) =>
  issue.keys.map((key) => ({
    field: toField([...issue.path, key]),
    rule: 'unknown field; expected one of the reference (--describe-settings)',
  }));

const describers: { readonly [Code in IssueCode]?: Describe<Code> } = {
  invalid_union: describeUnion,
  unrecognized_keys: describeUnknownKeys,
};

/** The faults of an issue; values of the file are never repeated, for one may be a secret. */
export function describeIssue(issue: Issue): readonly Fault[] {
  const describe = (describers[issue.code] ?? describeOther) as (value: Issue) => readonly Fault[];
  return describe(issue);
}
