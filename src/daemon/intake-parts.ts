import { asFunction } from "awilix";
import { BufferBudget } from "../buffer/buffer-budget.js";
import { CallerConnections } from "../intake/caller-connections.js";
import { CallerLosses } from "../intake/caller-losses.js";
import { type CallerShares, callerSharesOf } from "../intake/caller-shares.js";
import { UnreadResponses } from "../intake/unread-responses.js";
import type { FrontCradle } from "./front-container.js";

/** The parts that bound what callers take of memory and descriptors. */
export interface IntakeCradle {
  readonly callerShares: CallerShares;
  readonly callerLosses: CallerLosses;
  readonly callerConnections: CallerConnections;
  readonly unreadResponses: UnreadResponses;
  readonly bufferBudget: BufferBudget;
}

/** How the parts that bound what callers take are made. */
export const intakeParts = {
  callerShares: asFunction(({ frontSettings }: FrontCradle) =>
    callerSharesOf(frontSettings.limits),
  ).singleton(),
  callerLosses: asFunction(CallerLosses.create).singleton(),
  callerConnections: asFunction(CallerConnections.create).singleton(),
  unreadResponses: asFunction(UnreadResponses.create).singleton(),
  bufferBudget: asFunction(({ callerShares }: FrontCradle) =>
    BufferBudget.create(callerShares.bufferBytes),
  ).singleton(),
};
