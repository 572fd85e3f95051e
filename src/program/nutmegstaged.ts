#!/usr/bin/env node
import { EarlySignals } from "./early-signals.js";

const earlySignals = EarlySignals.create();
// The rest is loaded once signals have handlers; loading it takes some hundred ms.
const { runDaemon } = await import("./daemon-program.js");
await runDaemon(earlySignals);
