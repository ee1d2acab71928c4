/** Replaces some methods of an object and passes all others on, private state included. */
export const override = <Target extends object>(target: Target, methods: Partial<Target>): Target =>
  new Proxy(target, {
    get: (inner, name) => {
      const replaced = methods[name as keyof Target];
      const value: unknown = replaced ?? Reflect.get(inner, name, inner);
      return typeof value === 'function' && !replaced ? value.bind(inner) : value;
    },
  });
