import { aliasTo, asFunction } from "awilix";
import type { FrontSettings } from "../settings/front-settings.js";
import { ColdUpstreams } from "../warmup/cold-upstreams.js";
import type { EvacuationEnds } from "../warmup/evacuation-ends.js";
import type { WarmupBounds } from "../warmup/warmup-bounds.js";
import { WarmupGrants } from "../warmup/warmup-grants.js";
import { WarmupPermits } from "../warmup/warmup-permits.js";

/** The parts that pace what cold upstreams get. */
export interface WarmupCradle {
  readonly coldUpstreams: ColdUpstreams;
  readonly evacuationEnds: EvacuationEnds;
  readonly warmupBounds: WarmupBounds | undefined;
  readonly warmupGrants: WarmupGrants;
  readonly warmupPermits: WarmupPermits;
}

export const warmupParts = {
  coldUpstreams: asFunction(ColdUpstreams.create).singleton(),
  evacuationEnds: aliasTo("evacuations"),
  warmupBounds: asFunction(
    ({ frontSettings }: { readonly frontSettings: FrontSettings }) => frontSettings.bounds.warmup,
  ).singleton(),
  warmupGrants: asFunction(WarmupGrants.create).singleton(),
  warmupPermits: asFunction(WarmupPermits.create).singleton(),
};
