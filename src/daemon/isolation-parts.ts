import { asFunction } from "awilix";
import { BrittleUpstreams } from "../brittle/brittle-upstreams.js";
import { RelayedRequests } from "../isolation/relayed-requests.js";
import { RequestRelay } from "../isolation/request-relay.js";
import { UpstreamReach } from "../isolation/upstream-reach.js";

/** The parts for upstreams that an instance does not reach, or that are brittle. */
export interface IsolationCradle {
  readonly brittleUpstreams: BrittleUpstreams;
  readonly upstreamReach: UpstreamReach;
  readonly requestRelay: RequestRelay;
  readonly relayedRequests: RelayedRequests;
}

/** How the parts for upstreams that are not reached, or brittle, are made. */
export const isolationParts = {
  brittleUpstreams: asFunction(BrittleUpstreams.create).singleton(),
  upstreamReach: asFunction(UpstreamReach.create).singleton(),
  requestRelay: asFunction(RequestRelay.create).singleton(),
  relayedRequests: asFunction(RelayedRequests.create).singleton(),
};
