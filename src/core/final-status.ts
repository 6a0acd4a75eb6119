/** Statuses of final responses; a response with another status is no response in HTTP. */
const minStatus = 200;
const maxStatus = 599;

/** Statuses below this one are those of successes. */
const minRedirectStatus = 300;

/** Whether a response with this status may be the response to a request. */
export function isFinalStatus(status: number): boolean {
  return status >= minStatus && status <= maxStatus;
}

/** Whether a response with this status says that its request was carried out. */
export function isSuccess(status: number): boolean {
  return status >= minStatus && status < minRedirectStatus;
}
