import { ErrorKind } from "../error/error-kind.js";
import { ServeError } from "../error/serve-error.js";
import type { ConfigurationDocument } from "./configuration-document.js";
import { type Entry, entryKey } from "./entry-key.js";
import { Section } from "./section.js";
import { ServiceKind } from "./service-kind.js";

/** Throws `InvalidConfiguration` for duplicate keys and for names that refer to nothing. */
export function checkReferences(document: ConfigurationDocument): void {
  const problems = [...duplicateKeys(document), ...missingNames(document), ...unservable(document)];
  if (problems.length === 0) return;
  throw ServeError.create(ErrorKind.InvalidConfiguration, problems.join("; "));
}

function duplicateKeys(document: ConfigurationDocument): string[] {
  return Object.values(Section).flatMap((section) => {
    const keys = (document[section] as readonly Entry[]).map(entryKey);
    return keys.flatMap((key, at) =>
      keys.indexOf(key) === at ? [] : [`${section}.${at}: duplicate of "${key}"`],
    );
  });
}

function missingNames(document: ConfigurationDocument): string[] {
  const dataCentres = new Set(document.dataCentres.map((item) => item.name));
  const services = new Set(document.services.map((item) => item.name));
  const models = new Set(document.models.map((item) => item.name));
  const check = (known: ReadonlySet<string>, value: string, path: string): string[] =>
    known.has(value) ? [] : [`${path}: "${value}" is not defined`];
  return [
    ...document.links.flatMap((link, at) => [
      ...check(dataCentres, link.from, `links.${at}.from`),
      ...check(dataCentres, link.to, `links.${at}.to`),
    ]),
    ...document.upstreams.flatMap((upstream, at) => [
      ...check(dataCentres, upstream.dataCentre, `upstreams.${at}.dataCentre`),
      ...check(services, upstream.service, `upstreams.${at}.service`),
      ...(upstream.models ?? []).flatMap((model, of) =>
        check(models, model, `upstreams.${at}.models.${of}`),
      ),
    ]),
    ...document.pipelines.flatMap((pipeline, at) =>
      pipeline.stages.flatMap((stage, of) =>
        check(services, stage.service, `pipelines.${at}.stages.${of}.service`),
      ),
    ),
    ...document.services.flatMap((service, at) =>
      service.model === undefined ? [] : check(models, service.model, `services.${at}.model`),
    ),
  ];
}

/** A generate stage streams to the caller, so it must be the last; stage names must differ. */
function unservable(document: ConfigurationDocument): string[] {
  const kinds = new Map(document.services.map((service) => [service.name, service.kind]));
  return document.pipelines.flatMap((pipeline, at) =>
    pipeline.stages.flatMap((stage, of) => {
      const path = `pipelines.${at}.stages.${of}`;
      const last = of === pipeline.stages.length - 1;
      const first = pipeline.stages.findIndex((other) => other.name === stage.name);
      return [
        ...(kinds.get(stage.service) === ServiceKind.Generate && !last
          ? [`${path}: a generate stage must be the last`]
          : []),
        ...(first === of ? [] : [`${path}.name: duplicate of "${stage.name}"`]),
      ];
    }),
  );
}
