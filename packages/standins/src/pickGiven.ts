/** Optional fields, for shallow merges. */

type Given<Fields> = { [Name in keyof Fields]: Exclude<Fields[Name], undefined> };

/** The fields that are set. */
export const pickGiven = <Fields extends object>(fields: Fields): Partial<Given<Fields>> =>
  Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as Partial<
    Given<Fields>
  >;
