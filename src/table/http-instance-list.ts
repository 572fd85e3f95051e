import { request } from "undici";
import { z } from "zod";
import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { InstanceList } from "./instance-list.js";
import { type ListedInstance, listedInstanceSchema } from "./listed-instance.js";

const REQUEST_TIMEOUT_MS = 2_000;
const listSchema = z.object({ instances: z.array(listedInstanceSchema) });

/** Reads the instance list by `GET <endpoint>/instances`. */
export class HttpInstanceList implements InstanceList {
  private constructor(private readonly endpoint: string) {}

  static create(endpoint: string): HttpInstanceList {
    return new HttpInstanceList(endpoint);
  }

  async list(): Promise<ListedInstance[]> {
    try {
      const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
      const response = await request(new URL("/instances", this.endpoint), { signal });
      return listSchema.parse(await response.body.json()).instances;
    } catch (error) {
      throw ServeError.from(error, ErrorKind.PeerUnavailable);
    }
  }
}
