import { asFunction } from "awilix";
import { RelayedRequests } from "../isolation/relayed-requests.js";
import { RequestRelay } from "../isolation/request-relay.js";
import { UpstreamReach } from "../isolation/upstream-reach.js";

/** The parts for the time in which an instance reaches no upstream. */
export interface IsolationCradle {
  readonly upstreamReach: UpstreamReach;
  readonly requestRelay: RequestRelay;
  readonly relayedRequests: RelayedRequests;
}

/** How the parts for the time in which an instance reaches no upstream are made. */
export const isolationParts = {
  upstreamReach: asFunction(UpstreamReach.create).singleton(),
  requestRelay: asFunction(RequestRelay.create).singleton(),
  relayedRequests: asFunction(RelayedRequests.create).singleton(),
};
