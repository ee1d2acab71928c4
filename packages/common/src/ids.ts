/** Branded identifiers: strings that the type checker keeps apart. */

declare const brand: unique symbol;

/** A string that carries the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

/** A daemon's VM, unique by its settings; a replacement may reuse the name. */
export type VmId = Branded<'vm'>;
export type DataCentreId = Branded<'dataCentre'>;
export type TeamId = Branded<'team'>;
export type ModelId = Branded<'model'>;
/** `model@version`, such as `small@3`. */
export type VersionId = Branded<'version'>;
export type UpstreamId = Branded<'upstream'>;
/** One admitted request at one daemon; unique for all time. */
export type RequestId = Branded<'request'>;
/** What a caller's retries share: the idempotency key or, without one, the request id. */
export type RequestKey = Branded<'requestKey'>;
export type SessionId = Branded<'session'>;
/** What is asked and by whom, whatever attempt brings it: the same for a request that comes again. */
export type RequestDigest = Branded<'requestDigest'>;
/** One life of one daemon process: `vm#bootMs-random`. */
export type IncarnationId = Branded<'incarnation'>;
/** One run of a request at one engine; the engine's name for its stream. */
export type StreamId = Branded<'stream'>;

/** Brands a string whose form has been checked at the gate it came through. */
export const asId = <Id extends Branded<string>>(value: string): Id => value as Id;

const VERSION_SEPARATOR = '@';

/** Builds the id of a version of a model. */
export const getVersionId = (model: string, version: string): VersionId =>
  asId<VersionId>(`${model}${VERSION_SEPARATOR}${version}`);

/** The model part of a version's id. */
export const getModelOfVersion = (versionId: VersionId): ModelId =>
  asId<ModelId>(versionId.slice(0, versionId.lastIndexOf(VERSION_SEPARATOR)));
