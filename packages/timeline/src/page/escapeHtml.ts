/** Makes text safe to stand in HTML. */

const entities: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Text for element content and quoted attributes. */
export const escapeHtml = (text: unknown): string =>
  String(text ?? '').replace(/[&<>"']/g, (character) => entities[character] ?? '');

/**
 * JSON for a script element. A string that holds `</script>` would end the element and run what
 * follows it; without `<` it cannot.
 */
export const toScriptJson = (value: unknown): string =>
  JSON.stringify(value)
    .replace(/</g, '\\u003c')
    .replace(/\u2028/g, '\\u2028')
    .replace(/\u2029/g, '\\u2029');
