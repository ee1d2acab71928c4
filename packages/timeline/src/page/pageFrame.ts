/** The frame of a self-contained page: nothing is loaded from anywhere. */
import { escapeHtml } from './escapeHtml.js';

/** Parts of a page; all but the title are markup that is safe already. */
export interface PageParts {
  readonly title: string;
  readonly style: string;
  readonly body: string;
  readonly script?: string;
}

const CONTENT_POLICY =
  "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; img-src data:";

const BASE_STYLE = `
:root { color-scheme: light dark; --ink: #1d2733; --dim: #667384; --line: #d8dee6; --paper: #fff; --band: #f4f6f9; }
@media (prefers-color-scheme: dark) {
  :root { --ink: #e3e8ee; --dim: #94a1b2; --line: #35404d; --paper: #161b22; --band: #1e252e; }
}
* { box-sizing: border-box; }
body { margin: 0 auto; padding: 16px 20px; max-width: 1400px; color: var(--ink); background: var(--paper);
  font: 14px/1.45 system-ui, sans-serif; }
h1 { font-size: 20px; margin: 0 0 4px; }
h2 { font-size: 16px; margin: 24px 0 8px; }
p { margin: 4px 0; color: var(--dim); }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: 3px 10px 3px 0; border-bottom: 1px solid var(--line); vertical-align: top; }
th { color: var(--dim); font-weight: 600; }
td.number, th.number { text-align: right; }
svg { display: block; width: 100%; height: auto; }
svg text { fill: var(--ink); font: 12px system-ui, sans-serif; }
svg text.dim { fill: var(--dim); }
svg .band { fill: var(--band); }
svg .rule { stroke: var(--line); stroke-width: 1; }
`;

/** One HTML document. */
export const buildPage = ({ title, style, body, script }: PageParts): string =>
  [
    '<!doctype html>',
    '<html lang="en">',
    '<head>',
    '<meta charset="utf-8">',
    `<meta http-equiv="Content-Security-Policy" content="${CONTENT_POLICY}">`,
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>${escapeHtml(title)}</title>`,
    `<style>${BASE_STYLE}${style}</style>`,
    '</head>',
    '<body>',
    body,
    ...(script === undefined ? [] : [`<script>${script}</script>`]),
    '</body>',
    '</html>',
    '',
  ].join('\n');
