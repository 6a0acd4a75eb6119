/**
 * Numbered log events. Each number is permanent and described in `docs/EVENTS.md`; a test compares
 * the two. Ranges: 1xx daemon, 2xx requests, 3xx log and state, 4xx membership and fleet,
 * 5xx routing and admission, 6xx capacity, 7xx claims and jobs, 8xx administration and security.
 */
export enum EventId {
  DaemonReady = 101,
  DaemonStopping = 102,
  DaemonStopped = 103,
  StopForced = 104,
  DaemonStarted = 105,
  ConfigInForce = 110,
  ConfigUnreadable = 111,
  RequestServed = 201,
  RequestRefused = 202,
  RequestBroken = 203,
  AttemptFailed = 204,
  RequestRetried = 205,

  // 3xx log and state
  LogReadFailing = 301,
  LogReadRecovered = 302,
  AppendRetried = 303,
  LogCircuitChanged = 304,
  StreamCaughtUp = 305,
  HistoryTrimmed = 306,
  SnapshotLoaded = 307,
  SnapshotUnusable = 308,
  SnapshotWritten = 309,
  SnapshotFailed = 310,
  ListenerFailed = 311,
  SettingsAccepted = 312,
  SettingsRejected = 313,
  DistributorSuspended = 314,
  DistributionFailed = 315,

  // 4xx membership and fleet
  MemberJoined = 401,
  MemberSuspected = 402,
  MemberLost = 403,
  MemberNameTaken = 404,
  EndpointAdded = 410,
  EndpointLeaving = 411,
  EndpointSuspected = 412,
  EndpointRestored = 413,
  LeavingPullFailed = 414,
  EndpointLapsed = 415,
  RegistrationUnreadable = 416,
  DrainNotKept = 417,

  // 5xx routing and admission
  RequestNotAdmitted = 501,

  // 6xx capacity
  ControlLeaseTaken = 601,
  ControlLeaseLost = 602,
  VmCreated = 603,
  StartRefused = 604,
  CreateUnanswered = 605,
  ControlStale = 606,
  VmDeleted = 607,
  ControlRoundFailed = 608,
  CloudUnanswered = 609,
  RolloutStarted = 610,
  RolloutFinished = 611,
  RolledBack = 612,
  WeightStoreBusy = 613,
  OrderFailed = 614,
  ControlFollowed = 620,
  ModelLoadOrdered = 621,
  UsageReported = 630,
  UsageUnanswered = 631,
  EndpointsOrdered = 632,
  OrderUnanswered = 633,
  SampleUnreadable = 634,

  // 7xx claims and jobs
  CallOutcomeUnknown = 701,
  OutcomeNotRecorded = 702,
  ClaimReleased = 703,
  JobAccepted = 704,
  JobTakenOver = 705,
  JobMoved = 706,
  JobLeaseLost = 707,
  JobFinished = 708,
  JobRunnerFailed = 709,

  // 8xx administration and security
  AdminAction = 801,
  AdminRefused = 802,
  AdminFailed = 803,
  CertificatesReloaded = 804,
  CertificatesRejected = 805,
}
