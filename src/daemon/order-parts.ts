import { LeaseKeeper } from "../order/lease-keeper.js";
import { OrderDispatch } from "../order/order-dispatch.js";
import { PlacementTask } from "../order/placement-task.js";
import type { WantedModels } from "../order/wanted-models.js";
import { HttpWeightStore } from "../table/http-weight-store.js";
import type { WeightStore } from "../table/weight-store.js";
import type { EngineModels } from "../upstream/engine-models.js";
import { HttpEngineModels } from "../upstream/http-engine-models.js";
import { aliasTo, asFunction } from "awilix";
import type { Cradle } from "./container.js";

/** The parts for orders to engines. */
export interface OrderCradle {
  readonly leaseKeeper: LeaseKeeper;
  readonly engineModels: EngineModels;
  /** Undefined if the settings name no store; loads are then not paced. */
  readonly weightStore: WeightStore | undefined;
  readonly placementTask: PlacementTask;
  readonly wantedModels: WantedModels;
  readonly orderDispatch: OrderDispatch;
}

/** How the parts for orders to engines are made. */
export const orderParts = {
  leaseKeeper: asFunction(LeaseKeeper.create).singleton(),
  engineModels: asFunction(HttpEngineModels.create).singleton(),
  weightStore: asFunction(({ settings, timers }: Cradle) =>
    settings.weightStore === undefined
      ? undefined
      : HttpWeightStore.create(settings.weightStore.endpoint, timers),
  ).singleton(),
  placementTask: asFunction(PlacementTask.create).singleton(),
  wantedModels: aliasTo("placementTask"),
  orderDispatch: asFunction(OrderDispatch.create).singleton(),
};
