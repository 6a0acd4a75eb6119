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
  RequestServed = 201,
  RequestRefused = 202,
  RequestBroken = 203,

  // 3xx log and state

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

  // 5xx routing and admission

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

  // 7xx claims and jobs

  // 8xx administration and security
}
