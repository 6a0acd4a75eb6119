/** Class of a request by expected output length; determines priority, reservations and limits. */
export enum WorkClass {
  Short = 'short',
  Medium = 'medium',
  Long = 'long',
}
