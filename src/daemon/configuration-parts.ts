import { ConfigurationFollower } from "../configuration/configuration-follower.js";
import { ConfigurationHistory } from "../configuration/configuration-history.js";
import type { ConfigurationRegistry } from "../configuration/configuration-registry.js";
import { ConfigurationView } from "../configuration/configuration-view.js";
import { PeerChanges } from "../configuration/peer-changes.js";
import { TableConfigurationRegistry } from "../configuration/table-configuration-registry.js";
import { VersionAgreement } from "../configuration/version-agreement.js";
import { asFunction } from "awilix";

/** The parts for configuration versions. */
export interface ConfigurationCradle {
  readonly configurationView: ConfigurationView;
  readonly configurationHistory: ConfigurationHistory;
  readonly configurationFollower: ConfigurationFollower;
  readonly configurationRegistry: ConfigurationRegistry;
  readonly peerChanges: PeerChanges;
  readonly versionAgreement: VersionAgreement;
}

/** How the parts for configuration versions are made. */
export const configurationParts = {
  configurationView: asFunction(() => ConfigurationView.create()).singleton(),
  configurationHistory: asFunction(ConfigurationHistory.create).singleton(),
  configurationFollower: asFunction(ConfigurationFollower.create).singleton(),
  configurationRegistry: asFunction(TableConfigurationRegistry.create).singleton(),
  peerChanges: asFunction(PeerChanges.create).singleton(),
  versionAgreement: asFunction(VersionAgreement.create).singleton(),
};
