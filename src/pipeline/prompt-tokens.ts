/** Tokens assumed of a message part that is not text, such as an image. */
const nonTextContentTokens = 250;

/**
 * Prompt tokens, at about four characters each.
 *
 * @param messages - a chat; content that is not text, as in multimodal or tool messages, counts flat.
 */
export function estimatePromptTokens(messages: readonly { readonly content: unknown }[]): number {
  const tokens = messages.reduce(
    (sum, { content }) =>
      sum + (typeof content === 'string' ? content.length / 4 : nonTextContentTokens),
    0,
  );
  return Math.ceil(tokens);
}
