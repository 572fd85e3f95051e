import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { freePorts } from "../../standin/free-ports.js";

interface PortsWorld {
  ports: number[];
}

When(
  "{int} fleets ask for {int} ports each at the same time",
  async function (this: PortsWorld, fleets: number, count: number) {
    const asked = Array.from({ length: fleets }, () => freePorts(count));
    this.ports = (await Promise.all(asked)).flat();
  },
);

Then("no port was given out twice", function (this: PortsWorld) {
  assert.equal(new Set(this.ports).size, this.ports.length);
});
