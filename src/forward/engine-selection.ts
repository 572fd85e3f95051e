/** Share of an engine's slots that one instance fills before it uses the next engine. */
export const MAX_UTILIZATION = 0.5;
