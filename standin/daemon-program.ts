// Runs the daemon as a child of a test or of the demo: reports readiness and ends with its parent.
await import("../src/program/nutmegstaged.js");
process.send?.("ready");
process.on("disconnect", () => process.exit(1));
