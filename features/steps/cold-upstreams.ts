import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { MemberState } from "../../src/peer/member-state.js";
import type { LimitInstance } from "../support/limit-instance.js";
import { ColdWatch } from "../support/cold-watch.js";
import { BOUNDS, ColdFleet } from "../support/cold-fleet.js";

const MS_PER_SECOND = 1_000;
const FREEZE_MS = 1_500;
/** Time in which all instances are told of a cold engine. */
const TOLD_MS = 150;
/** Longer than the time in which all instances read a row. */
const ROWS_READ_MS = 1_500;

export interface ColdWorld {
  coldFleet: ColdFleet;
  place: string;
  coldWatch: ColdWatch;
  frozen: readonly LimitInstance[];
}

function useFleet(world: ColdWorld, fleet: ColdFleet): void {
  world.coldFleet = fleet;
  world.place = fleet.dataCentreOf(fleet.home);
}

Given(
  "{int} instances and {int} engines",
  async function (this: ColdWorld, instances: number, engines: number) {
    useFleet(this, await ColdFleet.create(instances, engines, BOUNDS));
  },
);

Given(
  "{int} instances and {int} engines of an earlier deployment",
  async function (this: ColdWorld, instances: number, engines: number) {
    useFleet(this, await ColdFleet.create(instances, engines, undefined));
  },
);

Given(
  "{int} instances and {int} engines that state how cold they are",
  async function (this: ColdWorld, instances: number, engines: number) {
    useFleet(this, await ColdFleet.create(instances, engines, BOUNDS));
    this.coldFleet.states = true;
  },
);

When("the data centre returns cold", async function (this: ColdWorld) {
  await this.coldFleet.chill(this.place, "start");
});

When("its rows are read", async function (this: ColdWorld) {
  await this.coldFleet.timers.advance(ROWS_READ_MS);
  await this.coldFleet.chill(this.place, "become cold");
});

When("all engines start", async function (this: ColdWorld) {
  for (const place of ["a", "b"]) await this.coldFleet.chill(place, "start");
  await this.coldFleet.timers.advance(ROWS_READ_MS);
  for (const place of ["a", "b"]) await this.coldFleet.chill(place, "become cold");
});

When("the owner of the home ends", function (this: ColdWorld) {
  const { coldFleet: fleet } = this;
  const { owner } = fleet;
  fleet.timers.after(700, () => {
    fleet.end(owner);
    fleet.timers.after(500, () => {
      fleet.seeAs(owner, MemberState.Dead);
    });
  });
});

When("the owner of the home restarts", function (this: ColdWorld) {
  const { coldFleet: fleet } = this;
  const { owner } = fleet;
  fleet.timers.after(700, () => {
    fleet.start(owner, 2);
  });
});

When("half of the others suspect the owner", function (this: ColdWorld) {
  const { owner, instances } = this.coldFleet;
  const others = instances.filter(({ id }) => id !== owner);
  for (const other of others.slice(0, others.length / 2)) other.see(owner, MemberState.Suspect);
});

When("the fleet is split into {int} parts", function (this: ColdWorld, parts: number) {
  const { instances, network, timers } = this.coldFleet;
  const sideOf = (at: number): number => at % parts;
  instances.forEach(({ id }, at) => network.partition.set(id, sideOf(at)));
  timers.after(1_000, () => {
    instances.forEach((instance, at) => {
      instances.forEach(({ id }, other) => {
        if (sideOf(at) !== sideOf(other)) instance.see(id, MemberState.Suspect);
      });
    });
  });
});

When("{int} in {int} messages is lost", function (this: ColdWorld, part: number, whole: number) {
  this.coldFleet.network.lossRate = part / whole;
});

When(
  "{int} requests per second and {int} of the hot prompt arrive for {int} s",
  async function (this: ColdWorld, perSecond: number, hotPerSecond: number, seconds: number) {
    this.coldFleet.load({ perSecond, hotPerSecond, seconds });
    await this.coldFleet.timers.advance((seconds + 2) * MS_PER_SECOND);
  },
);

When(
  "{int} requests per second and {int} of the hot prompt arrive for {int} s and the data centre returns",
  async function (this: ColdWorld, perSecond: number, hotPerSecond: number, seconds: number) {
    const { coldFleet: fleet } = this;
    fleet.load({ perSecond, hotPerSecond, seconds });
    await fleet.timers.advance(MS_PER_SECOND);
    await fleet.darken(this.place);
    await fleet.chill(this.place, "start");
    await fleet.timers.advance(seconds * MS_PER_SECOND);
  },
);

When(
  "{int} requests per second and {int} of the hot prompt arrive for {int} s and the data centre becomes cold",
  async function (this: ColdWorld, perSecond: number, hotPerSecond: number, seconds: number) {
    const { coldFleet: fleet } = this;
    fleet.load({ perSecond, hotPerSecond, seconds });
    await fleet.timers.advance(MS_PER_SECOND);
    await fleet.chill(this.place, "become cold");
    await fleet.timers.advance((seconds + 1) * MS_PER_SECOND);
  },
);

When(
  "{int} instances freeze while the data centre becomes cold",
  async function (this: ColdWorld, count: number) {
    const { coldFleet: fleet } = this;
    const frozen = fleet.others.slice(0, count);
    this.frozen = frozen;
    for (const instance of frozen) instance.freeze();
    await fleet.chill(this.place, "unseen");
    await fleet.timers.advance(FREEZE_MS);
    for (const instance of frozen) instance.thaw(FREEZE_MS);
    fleet.readRows();
  },
);

When(
  "{int} requests of the hot prompt arrive at them",
  async function (this: ColdWorld, count: number) {
    const { coldFleet: fleet } = this;
    const woken = this.frozen;
    for (let at = 0; at < count; at += 1) {
      const instance = woken[at % woken.length];
      if (instance !== undefined) void fleet.send(instance);
    }
    await fleet.timers.advance(3 * MS_PER_SECOND);
  },
);

When(
  "the evacuation of the data centre ends and its engines are cold",
  async function (this: ColdWorld) {
    const { coldFleet: fleet, place } = this;
    await fleet.chill(place, "unseen");
    for (const { evacuationEnds } of fleet.instances) evacuationEnds.set(place, fleet.timers.now());
    fleet.readRows();
  },
);

When("one instance reads that it is cold and sends a request", async function (this: ColdWorld) {
  const { coldFleet: fleet } = this;
  const reader = fleet.instances.find(({ id }) => id !== fleet.owner);
  assert.ok(reader);
  await fleet.chillBefore(reader, fleet.home);
  this.coldWatch = ColdWatch.start(fleet);
  void fleet.send(reader);
  await fleet.timers.advance(TOLD_MS);
});

When("{int} requests of the hot prompt arrive", async function (this: ColdWorld, count: number) {
  const { coldFleet: fleet } = this;
  for (let at = 0; at < count; at += 1) {
    const instance = fleet.instances[at % fleet.instances.length];
    if (instance !== undefined) void fleet.send(instance);
  }
  await fleet.timers.advance(MS_PER_SECOND);
});

Then(
  "no cold engine gets more than {int} requests in a second",
  function (this: ColdWorld, most: number) {
    const { mostWhileCold } = this.coldFleet;
    assert.ok(mostWhileCold <= most, `${mostWhileCold} requests in a second`);
  },
);

Then(
  "a cold engine gets more than {int} requests in a second",
  function (this: ColdWorld, most: number) {
    assert.ok(this.coldFleet.mostWhileCold > most, `${this.coldFleet.mostWhileCold}`);
  },
);

Then("cold engines get at least {int} requests", function (this: ColdWorld, least: number) {
  const count = this.coldFleet.arrivals.filter(({ cold }) => cold).length;
  assert.ok(count >= least, `${count} requests`);
});

Then("at most {float} of the requests are refused", function (this: ColdWorld, part: number) {
  const { refused, asked } = this.coldFleet;
  assert.ok(refused <= part * asked, `${refused} of ${asked}`);
});

Then("at least {int} requests are refused", function (this: ColdWorld, least: number) {
  assert.ok(this.coldFleet.refused >= least, `${this.coldFleet.refused}`);
});

Then("no permit is asked for", function (this: ColdWorld) {
  assert.equal(this.coldFleet.network.messages, 0);
});
