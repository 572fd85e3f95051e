/** Methods of the JSON-RPC interface between daemons. */
export enum PeerMethod {
  Heartbeat = "heartbeat",
  Probe = "probe",
  MemberChanges = "member.news",
  Broadcast = "broadcast",
  ConfigurationChangesSince = "configuration.changesSince",
  ConfigurationAgreement = "configuration.agreement",
  LedgerAttempt = "ledger.attempt",
  AnswerRead = "answer.read",
  StageSubmit = "stage.submit",
  StageCancel = "stage.cancel",
  StageRelease = "stage.release",
  StageResults = "stage.results",
  StoreRows = "store.rows",
  LimitPermit = "limit.permit",
  LimitReport = "limit.report",
  LimitsKnown = "limit.known",
}
