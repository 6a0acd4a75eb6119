/** The text without the slashes at its end. */
export function withoutTrailingSlashes(text: string): string {
  let end = text.length;
  while (text[end - 1] === '/') end -= 1;
  return text.slice(0, end);
}
