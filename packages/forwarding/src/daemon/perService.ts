/** One value per service, created on first use. */
export class PerService<Value> {
  readonly #create: (service: string) => Value;

  readonly #values = new Map<string, Value>();

  constructor(create: (service: string) => Value) {
    this.#create = create;
  }

  get(service: string): Value {
    const known = this.#values.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = this.#create(service);
    this.#values.set(service, created);
    return created;
  }

  /** Services that were used, with their values. */
  get entries(): readonly (readonly [service: string, value: Value])[] {
    return [...this.#values];
  }
}
