/** Importance of a class of work, from most to least. */
export enum Rank {
  Urgent = "urgent",
  Standard = "standard",
  Background = "background",
}

/** All ranks, the most important first. */
export const ranksInOrder: readonly Rank[] = [Rank.Urgent, Rank.Standard, Rank.Background];
