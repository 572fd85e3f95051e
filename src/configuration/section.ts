/** The lists of a configuration document. */
export enum Section {
  DataCentres = "dataCentres",
  Links = "links",
  Classes = "classes",
  Teams = "teams",
  Models = "models",
  Services = "services",
  Pipelines = "pipelines",
  Upstreams = "upstreams",
}
