/** Token count assumed for message content that is not a string, such as a list with an image. */
const nonTextContentTokens = 250;

/**
 * Estimates the prompt tokens of a chat, at about four characters per token.
 *
 * @param messages - messages of the chat. Content that is not a string, as in multimodal or tool
 * messages, counts as a fixed number of tokens.
 */
export function estimatePromptTokens(messages: readonly { readonly content: unknown }[]): number {
  const tokens = messages.reduce(
    (sum, { content }) =>
      sum + (typeof content === 'string' ? content.length / 4 : nonTextContentTokens),
    0,
  );
  return Math.ceil(tokens);
}
