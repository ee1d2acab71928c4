/**
 * Script of the time line's page. It builds nodes and sets their text, never markup from data: names
 * from outside cannot become elements.
 */

export const TIMELINE_SCRIPT = `
'use strict';
(() => {
  const SVG = 'http://www.w3.org/2000/svg';
  const LEFT = 190, WIDTH = 1360, TOP = 26, ROW = 30, RADIUS = 5, MAX_ROWS = 2000;
  const byId = (id) => document.getElementById(id);
  const data = JSON.parse(byId('data').textContent);
  const state = { from: undefined, to: undefined, dragFrom: undefined };

  const add = (parent, name, attributes, text) => {
    const node = document.createElementNS(SVG, name);
    Object.entries(attributes).forEach(([key, value]) => node.setAttribute(key, value));
    if (text !== undefined) node.textContent = text;
    parent.appendChild(node);
    return node;
  };

  const getShownGroups = () =>
    new Set([...document.querySelectorAll('#legend input:checked')].map((input) => input.value));

  const listShown = () => {
    const groups = getShownGroups();
    const has = (value, id) => value.includes(byId(id).value.trim());
    return data.events.filter((event) =>
      groups.has(event.group) && has(event.request, 'request') &&
      has(event.version, 'version') && has(event.type, 'type') &&
      (state.from === undefined || (event.wallMs >= state.from && event.wallMs <= state.to)));
  };

  const getRange = (events) => {
    if (state.from !== undefined) return [state.from, state.to];
    if (events.length === 0) return [0, 1];
    const times = events.map((event) => event.wallMs);
    const from = times.reduce((a, b) => Math.min(a, b));
    const to = times.reduce((a, b) => Math.max(a, b));
    const margin = Math.max(1, (to - from) * 0.02);
    return [from - margin, to + margin];
  };

  const getStep = (spanMs) => {
    const steps = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1e3, 2e3, 5e3, 1e4, 3e4, 6e4, 3e5, 6e5, 18e5, 36e5, 108e5, 216e5, 864e5];
    return steps.find((step) => spanMs / step <= 9) || Math.ceil(spanMs / 8);
  };

  const formatTick = (timeMs, stepMs) => {
    const text = new Date(timeMs).toISOString();
    return stepMs < 1000 ? text.slice(11, 23) : stepMs < 864e5 ? text.slice(11, 19) : text.slice(0, 10);
  };

  const drawAxis = (svg, from, to, height, toX) => {
    const step = getStep(to - from);
    for (let at = Math.ceil(from / step) * step; at <= to; at += step) {
      add(svg, 'line', { class: 'rule', x1: toX(at), x2: toX(at), y1: TOP, y2: height });
      add(svg, 'text', { class: 'dim', x: toX(at), y: 16, 'text-anchor': 'middle' }, formatTick(at, step));
    }
  };

  const shorten = (text, length) => text.length > length ? text.slice(0, length - 1) + '\\u2026' : text;

  const drawLanes = (svg) => data.lanes.forEach((lane) => {
    const y = TOP + lane.row * ROW;
    const before = data.lanes[lane.row - 1];
    const isFirst = !before || before.dataCentre !== lane.dataCentre;
    if (lane.row % 2 === 0) add(svg, 'rect', { class: 'band', x: LEFT, y, width: WIDTH - LEFT, height: ROW });
    if (isFirst) {
      add(svg, 'line', { class: 'rule', x1: 0, x2: WIDTH, y1: y, y2: y });
      add(svg, 'text', { class: 'dim', x: 0, y: y + ROW / 2 + 4 }, shorten(lane.dataCentre, 13));
    }
    const label = add(svg, 'text', { x: LEFT - 8, y: y + ROW / 2 + 4, 'text-anchor': 'end' }, shorten(lane.vm, 14));
    add(label, 'title', {}, lane.dataCentre + ' ' + lane.vm);
  });

  const pick = (index) => {
    document.querySelectorAll('.picked').forEach((node) => node.classList.remove('picked'));
    document.querySelectorAll('[data-index="' + index + '"]').forEach((node) => node.classList.add('picked'));
  };

  const drawEvents = (svg, events, toX) => {
    const lastX = new Map();
    const faults = document.createElementNS(SVG, 'g');
    events.forEach((event, index) => {
      const x = toX(event.wallMs);
      const last = lastX.get(event.lane) || { x: -99, level: 0 };
      const level = x - last.x < RADIUS ? (last.level + 1) % 4 : 0;
      lastX.set(event.lane, { x, level });
      const y = TOP + event.lane * ROW + ROW / 2 + [0, -7, 7, 3.5][level];
      // Faults lie on top of what happened at the same moment.
      const dot = add(event.group === 'fault' ? faults : svg, 'circle', { class: 'dot ' + event.group, cx: x, cy: y, r: RADIUS, 'data-index': index });
      add(dot, 'title', {}, new Date(event.wallMs).toISOString() + ' ' + event.type + '\\n' + event.facts);
      dot.addEventListener('click', () => {
        pick(index);
        const row = document.querySelector('tr[data-index="' + index + '"]');
        if (row) row.scrollIntoView({ block: 'center' });
      });
    });
    svg.appendChild(faults);
  };

  const addBrush = (svg, from, to, toX, height) => {
    const getTime = (mouse) => {
      const box = svg.getBoundingClientRect();
      const x = (mouse.clientX - box.left) * WIDTH / box.width;
      return from + (Math.max(LEFT, Math.min(WIDTH, x)) - LEFT) / (WIDTH - LEFT) * (to - from);
    };
    const brush = add(svg, 'rect', { class: 'brush', x: 0, y: TOP, width: 0, height: height - TOP });
    svg.addEventListener('mousedown', (mouse) => { state.dragFrom = getTime(mouse); });
    svg.addEventListener('mousemove', (mouse) => {
      if (state.dragFrom === undefined) return;
      const ends = [toX(state.dragFrom), toX(getTime(mouse))].sort((a, b) => a - b);
      brush.setAttribute('x', ends[0]);
      brush.setAttribute('width', ends[1] - ends[0]);
    });
    svg.addEventListener('mouseup', (mouse) => {
      const ends = [state.dragFrom, getTime(mouse)].sort((a, b) => a - b);
      const isDrag = state.dragFrom !== undefined && toX(ends[1]) - toX(ends[0]) > 6;
      state.dragFrom = undefined;
      if (isDrag) { state.from = ends[0]; state.to = ends[1]; render(); }
    });
  };

  const drawPicture = (events) => {
    const height = TOP + data.lanes.length * ROW + 4;
    const [from, to] = getRange(events);
    const toX = (at) => LEFT + (at - from) / (to - from) * (WIDTH - LEFT);
    const svg = document.createElementNS(SVG, 'svg');
    svg.setAttribute('viewBox', '0 0 ' + WIDTH + ' ' + height);
    drawLanes(svg);
    drawAxis(svg, from, to, height, toX);
    addBrush(svg, from, to, toX, height);
    drawEvents(svg, events, toX);
    byId('picture').replaceChildren(svg);
  };

  const toRow = (event, index) => {
    const lane = data.lanes[event.lane];
    const row = document.createElement('tr');
    row.dataset.index = index;
    const time = new Date(event.wallMs).toISOString().replace('T', ' ').slice(0, 23) + '+' + event.counter;
    [['time', time], ['name', lane.dataCentre], ['name', lane.vm], ['type', event.type], ['facts', event.facts]]
      .forEach(([name, text]) => {
        const cell = document.createElement('td');
        cell.className = name;
        cell.textContent = text;
        row.appendChild(cell);
      });
    row.addEventListener('click', () => pick(index));
    return row;
  };

  const render = () => {
    const events = listShown();
    drawPicture(events);
    byId('rows').replaceChildren(...events.slice(0, MAX_ROWS).map(toRow));
    byId('count').textContent = events.length + ' of ' + data.events.length + ' events';
    byId('more').textContent = events.length > MAX_ROWS
      ? 'The table shows the first ' + MAX_ROWS + '; filter or zoom to see the others.' : '';
  };

  byId('filters').addEventListener('submit', (event) => event.preventDefault());
  byId('filters').addEventListener('input', render);
  byId('legend').addEventListener('change', render);
  byId('whole').addEventListener('click', () => { state.from = undefined; state.to = undefined; render(); });
  render();
})();
`;
