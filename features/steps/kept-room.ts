import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { FirstStageAdmission } from "../../src/congestion/first-stage-admission.js";
import { ManualTimers } from "../../src/time/manual-timers.js";
import { submissionOf } from "../support/owner-parts.js";

const EXCESS_MS = 100;

interface KeptRoomWorld {
  admission: FirstStageAdmission;
  ownMs: number;
}

Given(
  "{int} callers of rank {int} whose work takes {int} ms each were refused at a wait of {int} ms",
  function (this: KeptRoomWorld, count: number, rank: number, costMs: number, ownMs: number) {
    this.ownMs = ownMs;
    this.admission = FirstStageAdmission.create({
      timers: ManualTimers.create(),
      upstreams: () => 1,
      piecesPerMs: () => 1,
    });
    for (let index = 0; index < count; index += 1) {
      const submission = submissionOf({ rank, pieces: costMs, first: true });
      this.admission.returnDelayMs(submission, EXCESS_MS);
    }
  },
);

Then(
  /^new work of rank (\d+)(?: and of rank (\d+))? counts a wait of (\d+) ms$/,
  function (this: KeptRoomWorld, one: string, other: string | null, waitMs: string) {
    for (const rank of [one, other ?? one]) {
      const submission = submissionOf({ rank: Number(rank), first: true });
      assert.equal(this.admission.waitMs(submission, this.ownMs), Number(waitMs), `rank ${rank}`);
    }
  },
);
