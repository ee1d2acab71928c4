/** Colours that tell series apart, also for most colour-blind readers. */

const colours = [
  '#2f7fd6',
  '#d9822b',
  '#2c9a5b',
  '#c23b75',
  '#8a4fc7',
  '#129aa6',
  '#b08400',
  '#6b7a8c',
] as const;

/** The colour of the series at an index. */
export const getColour = (index: number): string => colours[index % colours.length] ?? '#000000';
