/**
 * Actors by `nact` whose behaviour is a lookup table of handlers, one for each message type.
 * An actor handles one message at a time, so state behind it needs no locks across awaits.
 */
import { dispatch, spawn, start, stop, type ActorSystemRef } from 'nact';

/** A message is named by its `type`. */
export interface TypedMessage {
  readonly type: string;
}

/** One handler for each message type. */
export type HandlerTable<Message extends TypedMessage> = {
  readonly [Type in Message['type']]: (
    message: Extract<Message, { type: Type }>,
  ) => void | Promise<void>;
};

/** The root of a process's actors. */
export type ActorSystem = ActorSystemRef;

/** Starts the actor system of one daemon. */
export const startActorSystem = (): ActorSystem => start();

/** Stops the system and all actors under it. */
export const stopActorSystem = (system: ActorSystem): void => stop(system);

/** Sends messages to one actor. */
export interface HandlerActor<Message extends TypedMessage> {
  tell(message: Message): void;
  /** Ends the actor; later messages are dropped. */
  stop(): void;
}

/** Called when a handler throws; the actor goes on with its next message. */
export type HandlerErrorListener = (error: unknown, messageType: string) => void;

/** Spawns an actor that runs the handler of each message's type, one message at a time. */
export const spawnHandlerActor = <Message extends TypedMessage>(
  system: ActorSystem,
  name: string,
  handlers: HandlerTable<Message>,
  onError: HandlerErrorListener,
): HandlerActor<Message> => {
  const table = handlers as unknown as Record<string, (message: Message) => void | Promise<void>>;
  const run = async (message: Message): Promise<void> => {
    try {
      await table[message.type]?.(message);
    } catch (error) {
      onError(error, message.type);
    }
  };
  const ref = spawn(
    system,
    async (_state: unknown, message: Message) => {
      await run(message);
      return true;
    },
    name,
    { initialState: true },
  );
  return { tell: (message) => dispatch(ref, message), stop: () => stop(ref) };
};
