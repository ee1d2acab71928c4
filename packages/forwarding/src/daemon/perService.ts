/** One thing for each service, made when it is first asked for. */
export class PerService<Thing> {
  readonly #create: () => Thing;

  readonly #things = new Map<string, Thing>();

  constructor(create: () => Thing) {
    this.#create = create;
  }

  get(service: string): Thing {
    const known = this.#things.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = this.#create();
    this.#things.set(service, created);
    return created;
  }
}
