import { type AwilixContainer, asValue, createContainer } from "awilix";
import type { Settings } from "../settings/settings.js";
import { type ConfigurationCradle, configurationParts } from "./configuration-parts.js";
import { type LedgerCradle, ledgerParts } from "./ledger-parts.js";
import { type OrderCradle, orderParts } from "./order-parts.js";
import { type PeerCradle, peerParts } from "./peer-parts.js";
import { type PlatformCradle, platformParts } from "./platform-parts.js";
import { type ServingCradle, servingParts } from "./serving-parts.js";

/** The parts of a daemon by name. */
export interface Cradle
  extends
    PlatformCradle,
    ConfigurationCradle,
    PeerCradle,
    LedgerCradle,
    OrderCradle,
    ServingCradle {
  readonly settings: Settings;
}

/** Composes a daemon; tests may replace parts before they are first used. */
export function createDaemonContainer(settings: Settings): AwilixContainer<Cradle> {
  const container = createContainer<Cradle>({ strict: true });
  container.register({
    settings: asValue(settings),
    ...platformParts,
    ...configurationParts,
    ...peerParts,
    ...ledgerParts,
    ...orderParts,
    ...servingParts,
  });
  return container;
}
