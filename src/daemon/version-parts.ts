import { asFunction } from "awilix";
import { BegunStreams } from "../version/begun-streams.js";
import { PlanKeeper } from "../version/plan-keeper.js";
import { RecordReader } from "../version/record-reader.js";
import { RecordWriter } from "../version/record-writer.js";
import { StreamRecords } from "../version/stream-records.js";
import { StreamVersions } from "../version/stream-versions.js";
import { VersionPlans } from "../version/version-plans.js";

/** The parts that keep streams at one software version. */
export interface VersionCradle {
  readonly versionPlans: VersionPlans;
  readonly planKeeper: PlanKeeper;
  readonly recordWriter: RecordWriter;
  readonly recordReader: RecordReader;
  readonly streamRecords: StreamRecords;
  readonly begunStreams: BegunStreams;
  readonly streamVersions: StreamVersions;
}

/** How the parts that keep streams at one software version are made. */
export const versionParts = {
  versionPlans: asFunction(VersionPlans.create).singleton(),
  planKeeper: asFunction(PlanKeeper.create).singleton(),
  recordWriter: asFunction(RecordWriter.create).singleton(),
  recordReader: asFunction(RecordReader.create).singleton(),
  streamRecords: asFunction(StreamRecords.create).singleton(),
  begunStreams: asFunction(() => BegunStreams.create()).singleton(),
  streamVersions: asFunction(StreamVersions.create).singleton(),
};
