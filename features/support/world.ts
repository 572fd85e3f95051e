import { After, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import type { Fleet } from "../../standin/fleet.js";
import type { ManualTimers } from "../../src/time/manual-timers.js";
import type { MemoryTable } from "../../standin/memory-table.js";
import type { CallerAnswer } from "./caller-answer.js";

const STEP_TIMEOUT_MS = 60_000;

/** Parts of a scenario that runs in one process on manual timers. */
export interface Scene {
  readonly timers: ManualTimers;
  readonly table: MemoryTable;
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  private running: Fleet | undefined;
  private received: CallerAnswer | undefined;

  private currentScene: Scene | undefined;

  get scene(): Scene {
    if (this.currentScene === undefined) throw new Error("the scenario has no scene");
    return this.currentScene;
  }

  set scene(scene: Scene) {
    this.currentScene = scene;
  }

  get fleet(): Fleet {
    if (this.running === undefined) throw new Error("the scenario has no fleet");
    return this.running;
  }

  set fleet(fleet: Fleet) {
    this.running = fleet;
  }

  get answer(): CallerAnswer {
    if (this.received === undefined) throw new Error("the scenario has no answer");
    return this.received;
  }

  set answer(answer: CallerAnswer) {
    this.received = answer;
  }

  async stop(): Promise<void> {
    await this.running?.stop();
  }
}

setWorldConstructor(ScenarioWorld);
setDefaultTimeout(STEP_TIMEOUT_MS);

After(async function (this: ScenarioWorld) {
  await this.stop();
});
