/** Fills the placeholders `{{a.b}}` of a text; nothing stands for a field that is missing. */
export function parseSettingsTemplate(text: string, fields: unknown): string {
  return text.replace(/\{\{([\w.-]+)\}\}/g, (_match, path: string) => {
    let value = fields;
    for (const name of path.split("."))
      value =
        typeof value === "object" && value !== null
          ? (value as Record<string, unknown>)[name]
          : undefined;
    if (Array.isArray(value)) return value.join(",");
    return typeof value === "string" || typeof value === "number" ? String(value) : "";
  });
}
