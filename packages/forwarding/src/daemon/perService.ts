/** One thing for each service, made when it is first asked for. */
export class PerService<Thing> {
  readonly #create: (service: string) => Thing;

  readonly #things = new Map<string, Thing>();

  constructor(create: (service: string) => Thing) {
    this.#create = create;
  }

  get(service: string): Thing {
    const known = this.#things.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = this.#create(service);
    this.#things.set(service, created);
    return created;
  }

  /** Those that were asked for. */
  get entries(): readonly (readonly [service: string, thing: Thing])[] {
    return [...this.#things];
  }
}
