/** Style of the time line's page. */

export const TIMELINE_STYLE = `
#filters, #legend { display: flex; flex-wrap: wrap; gap: 8px 18px; align-items: center; margin: 10px 0 4px; }
#filters input { font: inherit; width: 17em; padding: 2px 6px; }
#picture { margin: 8px 0 16px; user-select: none; cursor: crosshair; }
#picture svg { width: 100%; }
.key { display: inline-flex; align-items: center; gap: 4px; }
.key::before { content: ""; width: 10px; height: 10px; border-radius: 50%; background: var(--dot); }
.daemon { --dot: #6b7a8c; } .member { --dot: #2f7fd6; } .configuration { --dot: #8a4fc7; }
.request { --dot: #2c9a5b; } .ledger { --dot: #b08400; } .upstream { --dot: #129aa6; } .fault { --dot: #d0342c; }
svg .dot { fill: var(--dot); stroke: var(--paper); stroke-width: 0.5; }
svg .dot.picked { stroke: var(--ink); stroke-width: 2; }
svg .brush { fill: #2f7fd6; opacity: 0.18; }
.missing { color: #d0342c; }
td.time { white-space: nowrap; } td.type { white-space: nowrap; font-weight: 600; } td.name { white-space: nowrap; }
td.facts { word-break: break-word; }
tr.picked td { background: var(--band); }
`;
