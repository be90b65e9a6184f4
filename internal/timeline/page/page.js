"use strict";
(() => {
  const events = JSON.parse(document.getElementById("events").textContent);
  const groups = [
    { name: "Calls", color: "#0969da", shape: "dot", kinds: ["call admitted", "call queued", "call placed", "call sent", "first token", "call answered"] },
    { name: "History", color: "#1a7f37", shape: "dot", kinds: ["intent written", "turn durable", "turn buffered"] },
    { name: "Programs", color: "#8250df", shape: "diamond", kinds: ["program created", "program adopted", "program handed over", "program ended"] },
    { name: "Settings and VMs", color: "#6e5a00", shape: "square", kinds: ["configuration in force", "VM joined", "VM leaving", "endpoint leaving"] },
    { name: "Recovery", color: "#bc4c00", shape: "triangle", kinds: ["stream resumed", "connection replaced", "platform reachable", "endpoint recovered"] },
    { name: "Trouble", color: "#cf222e", shape: "cross", kinds: ["call refused", "ownership lost", "lease lost", "VM suspected", "VM died", "platform unreachable", "endpoint sick"] },
    { name: "Others", color: "#57606a", shape: "dot", kinds: [] },
  ];
  const groupOf = new Map();
  groups.forEach((g, rank) => g.kinds.forEach(k => groupOf.set(k, rank)));
  const others = groups.length - 1;
  const counts = new Map();
  for (const e of events) {
    if (!groupOf.has(e.kind)) {
      groupOf.set(e.kind, others);
      groups[others].kinds.push(e.kind);
    }
    counts.set(e.kind, (counts.get(e.kind) || 0) + 1);
  }

  const vms = [...new Set(events.map(e => e.vm))].sort();
  const laneOf = new Map(vms.map((vm, i) => [vm, i]));
  const wall = e => e.stamp.wall;
  const first = events.length ? wall(events[0]) : 0;
  const last = events.length ? wall(events[events.length - 1]) : 1;
  const pad = Math.max(5, (last - first) * 0.01);
  const whole = { from: first - pad, to: last + pad };

  const state = { from: whole.from, to: whole.to, hidden: new Set(), program: "", text: "", selected: null };
  const byId = id => document.getElementById(id);
  const canvas = byId("lanes"), chart = byId("chart"), tip = byId("tip");
  const axisHeight = 26, maxRows = 500;
  const laneNames = { width: 120 };
  const laneHeight = () => Math.max(22, Math.min(44, (chart.clientHeight - axisHeight) / Math.max(1, vms.length)));

  const family = id => id.split(".").slice(0, 2).join(".");
  function shown(e) {
    if (state.hidden.has(e.kind)) return false;
    if (state.program && e.program && e.program !== state.program && family(e.program) !== state.program) return false;
    if (state.program && !e.program && groupOf.get(e.kind) === 0) return false;
    if (!state.text) return true;
    return [e.request, e.endpoint, e.detail, e.vm, e.kind].some(s => s && s.toLowerCase().includes(state.text));
  }
  let visible = events;
  const inRange = e => wall(e) >= state.from && wall(e) <= state.to;

  function formatTime(ms, digits) {
    const t = new Date(ms).toISOString();
    return t.slice(11, digits > 0 ? 20 + digits : 19);
  }
  const x = (t, width) => laneNames.width + (t - state.from) / (state.to - state.from) * (width - laneNames.width - 12);
  const y = e => axisHeight + (laneOf.get(e.vm) + 0.5) * laneHeight();

  function mark(c, shape, px, py, r) {
    c.beginPath();
    if (shape === "dot") c.arc(px, py, r, 0, 2 * Math.PI);
    else if (shape === "square") c.rect(px - r, py - r, 2 * r, 2 * r);
    else if (shape === "diamond") { c.moveTo(px, py - r * 1.4); c.lineTo(px + r * 1.4, py); c.lineTo(px, py + r * 1.4); c.lineTo(px - r * 1.4, py); c.closePath(); }
    else if (shape === "triangle") { c.moveTo(px, py - r * 1.3); c.lineTo(px + r * 1.3, py + r); c.lineTo(px - r * 1.3, py + r); c.closePath(); }
    else { c.lineWidth = 2; c.moveTo(px - r, py - r); c.lineTo(px + r, py + r); c.moveTo(px + r, py - r); c.lineTo(px - r, py + r); c.stroke(); return; }
    c.fill();
  }

  function drawAxis(c, width, height) {
    const span = state.to - state.from;
    const steps = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1e3, 2e3, 5e3, 1e4, 15e3, 3e4, 6e4, 12e4, 3e5, 6e5, 18e5, 36e5, 72e5];
    const minStep = span / Math.max(2, (width - laneNames.width) / 110);
    const step = steps.find(s => s >= minStep) || steps[steps.length - 1];
    const digits = step < 1000 ? 3 : 0;
    c.fillStyle = "#57606a"; c.strokeStyle = "#eaeef2"; c.lineWidth = 1; c.textAlign = "center";
    for (let t = Math.ceil(state.from / step) * step; t <= state.to; t += step) {
      const px = Math.round(x(t, width)) + 0.5;
      c.beginPath(); c.moveTo(px, axisHeight - 4); c.lineTo(px, height); c.stroke();
      const half = c.measureText(formatTime(t, digits)).width / 2;
      if (px - half > laneNames.width && px + half < width) c.fillText(formatTime(t, digits), px, 14);
    }
  }

  function drawLanes(c, width) {
    const h = laneHeight();
    c.textAlign = "left";
    vms.forEach((vm, i) => {
      const top = axisHeight + i * h;
      if (i % 2 === 0) { c.fillStyle = "#f6f8fa"; c.fillRect(0, top, width, h); }
    });
  }

  // Where the marks in a lane would overlap, bars are drawn whose height grows with
  // the number of events per column of pixels, and the marks of the first two groups
  // are omitted.
  function drawEvents(c, width) {
    const column = 3, h = laneHeight();
    const bins = new Map();
    const marks = visible.filter(inRange);
    for (const e of marks) {
      const key = laneOf.get(e.vm) * 1e6 + Math.floor(x(wall(e), width) / column);
      bins.set(key, (bins.get(key) || 0) + 1);
    }
    const dense = 3;
    const maxCount = Math.max(dense, ...bins.values());
    for (const [key, n] of bins) {
      if (n < dense) continue;
      const lane = Math.floor(key / 1e6), px = (key % 1e6) * column;
      const bar = (h - 8) * Math.max(0.25, n / maxCount);
      c.fillStyle = "#0969da55";
      c.fillRect(px, axisHeight + (lane + 1) * h - 4 - bar, column, bar);
    }
    groups.forEach((g, rank) => {
      c.fillStyle = c.strokeStyle = g.color;
      for (const e of marks) {
        if (groupOf.get(e.kind) !== rank) continue;
        const px = x(wall(e), width);
        const n = bins.get(laneOf.get(e.vm) * 1e6 + Math.floor(px / column));
        if (n >= dense && rank < 2) continue;
        mark(c, g.shape, px, y(e), rank < 2 ? 2.5 : 4);
      }
    });
  }

  function drawPath(c, width) {
    const s = state.selected;
    if (!s) return;
    if (s.program) {
      const path = visible.filter(e => e.program === s.program);
      c.strokeStyle = "#bf3989"; c.lineWidth = 1.2; c.beginPath();
      path.forEach((e, i) => i ? c.lineTo(x(wall(e), width), y(e)) : c.moveTo(x(wall(e), width), y(e)));
      c.stroke();
    }
    c.strokeStyle = "#bf3989"; c.lineWidth = 2; c.beginPath();
    c.arc(x(wall(s), width), y(s), 8, 0, 2 * Math.PI); c.stroke();
  }

  function drawNames(c, height) {
    c.fillStyle = "#fff"; c.fillRect(0, 0, laneNames.width, height);
    c.textAlign = "left"; c.fillStyle = "#1b1f24";
    vms.forEach((vm, i) => c.fillText(vm, 8, axisHeight + (i + 0.5) * laneHeight() + 4, laneNames.width - 14));
    c.fillStyle = "#57606a"; c.fillText("UTC", 8, 14);
    c.strokeStyle = "#d0d7de"; c.lineWidth = 1; c.beginPath(); c.moveTo(laneNames.width + 0.5, 0); c.lineTo(laneNames.width + 0.5, height); c.stroke();
  }

  function draw() {
    const width = chart.clientWidth, height = axisHeight + vms.length * laneHeight();
    const ratio = window.devicePixelRatio || 1;
    canvas.style.height = height + "px";
    canvas.width = width * ratio; canvas.height = height * ratio;
    const c = canvas.getContext("2d");
    c.scale(ratio, ratio);
    c.font = "12px system-ui, sans-serif";
    drawLanes(c, width);
    drawAxis(c, width, height);
    drawEvents(c, width);
    drawPath(c, width);
    drawNames(c, height);
  }

  function fillRows() {
    const rows = byId("rows"), list = visible.filter(inRange);
    let from = 0;
    if (state.selected) from = Math.max(0, list.indexOf(state.selected) - maxRows / 2);
    rows.replaceChildren();
    for (const e of list.slice(from, from + maxRows)) {
      const tr = rows.insertRow();
      for (const cell of [formatTime(wall(e), 3), e.vm, e.kind, e.program, e.request, e.endpoint, e.detail]) {
        const td = tr.insertCell();
        td.textContent = td.title = cell || "";
      }
      tr.cells[2].style.color = groups[groupOf.get(e.kind)].color;
      if (e === state.selected) tr.className = "selected";
      tr.onclick = () => select(e);
    }
    const span = ((state.to - state.from) / 1000).toFixed(1);
    byId("summary").textContent = `${events.length} events, ${vms.length} VMs · ${list.length} shown in ${span} s` + (list.length > maxRows ? ` · ${maxRows} listed` : "");
  }

  function select(e) {
    state.selected = e;
    const details = byId("details"), dl = document.createElement("dl");
    const fields = { event: e.kind, time: new Date(wall(e)).toISOString() + " +" + e.stamp.logical, VM: e.vm, program: e.program, request: e.request, endpoint: e.endpoint, detail: e.detail };
    for (const [name, text] of Object.entries(fields)) {
      if (!text) continue;
      dl.append(Object.assign(document.createElement("dt"), { textContent: name }), Object.assign(document.createElement("dd"), { textContent: text }));
    }
    details.replaceChildren(dl);
    if (e.program && state.program !== e.program) {
      const filterButton = Object.assign(document.createElement("button"), { type: "button", textContent: "Only this program" });
      filterButton.onclick = () => { byId("program").value = state.program = e.program; refresh(); };
      details.append(filterButton);
    }
    draw();
    fillRows();
    const row = document.querySelector("tr.selected");
    if (row) row.scrollIntoView({ block: "nearest" });
  }

  // The chart is redrawn once per frame, and the list is updated once no redraw
  // has been requested for 100 ms, so that dragging stays smooth.
  let frame = 0, listTimer = 0;
  function redraw() {
    if (!frame) frame = requestAnimationFrame(() => { frame = 0; draw(); });
    clearTimeout(listTimer);
    listTimer = setTimeout(fillRows, 100);
  }
  function refresh() {
    visible = events.filter(shown);
    redraw();
  }

  function nearest(ev) {
    const box = canvas.getBoundingClientRect(), width = chart.clientWidth;
    const px = ev.clientX - box.left, py = ev.clientY - box.top;
    const reach = 10;
    let best = null, bestScore = Infinity;
    for (const e of visible) {
      if (!inRange(e)) continue;
      const dx = Math.abs(x(wall(e), width) - px), dy = Math.abs(y(e) - py);
      if (dx > reach || dy > laneHeight() / 2) continue;
      const score = dx - groupOf.get(e.kind) * 0.5;
      if (score < bestScore) { best = e; bestScore = score; }
    }
    return best;
  }

  function zoom(at, factor) {
    const span = Math.min((state.to - state.from) * factor, whole.to - whole.from);
    const share = (at - state.from) / (state.to - state.from);
    const from = Math.max(whole.from, Math.min(at - share * Math.max(5, span), whole.to - Math.max(5, span)));
    state.from = from;
    state.to = from + Math.max(5, span);
    redraw();
  }
  const timeAt = ev => {
    const box = canvas.getBoundingClientRect();
    return state.from + (ev.clientX - box.left - laneNames.width) / (box.width - laneNames.width - 12) * (state.to - state.from);
  };

  canvas.addEventListener("wheel", ev => {
    if (ev.shiftKey) return;
    ev.preventDefault();
    zoom(timeAt(ev), ev.deltaY > 0 ? 1.25 : 0.8);
  }, { passive: false });
  let drag = null;
  canvas.addEventListener("mousedown", ev => { drag = { x: ev.clientX, from: state.from, to: state.to, moved: false }; });
  window.addEventListener("mouseup", ev => {
    if (drag && !drag.moved && ev.target === canvas) {
      const e = nearest(ev);
      if (e) select(e);
    }
    drag = null;
  });
  canvas.addEventListener("mousemove", ev => {
    if (drag && Math.abs(ev.clientX - drag.x) > 3) drag.moved = true;
    if (drag && drag.moved) {
      const shift = (drag.x - ev.clientX) / (canvas.clientWidth - laneNames.width - 12) * (drag.to - drag.from);
      const bounded = Math.max(whole.from - drag.from, Math.min(shift, whole.to - drag.to));
      state.from = drag.from + bounded; state.to = drag.to + bounded;
      redraw();
      return;
    }
    const e = nearest(ev);
    tip.hidden = !e;
    if (!e) return;
    tip.textContent = [formatTime(wall(e), 3) + "  " + e.vm, e.kind, e.program, e.request && "request " + e.request, e.endpoint, e.detail].filter(Boolean).join("\n");
    const box = chart.getBoundingClientRect();
    tip.style.left = Math.min(ev.clientX - box.left + 14, chart.clientWidth - 260) + "px";
    tip.style.top = ev.clientY - box.top + chart.scrollTop + 14 + "px";
  });
  canvas.addEventListener("mouseleave", () => { tip.hidden = true; });

  function fillKinds() {
    const panel = byId("kinds");
    panel.replaceChildren();
    const present = k => counts.has(k);
    for (const g of groups.toReversed()) {
      if (!g.kinds.some(present)) continue;
      const h = document.createElement("h2");
      const toggle = Object.assign(document.createElement("a"), { textContent: "all / none" });
      toggle.onclick = () => {
        const none = g.kinds.every(k => state.hidden.has(k));
        g.kinds.forEach(k => none ? state.hidden.delete(k) : state.hidden.add(k));
        fillKinds();
        refresh();
      };
      h.append(g.name, toggle);
      panel.append(h);
      for (const kind of g.kinds.filter(present)) panel.append(kindLabel(g, kind));
    }
  }

  function kindLabel(g, kind) {
    const label = document.createElement("label");
    const box = Object.assign(document.createElement("input"), { type: "checkbox", checked: !state.hidden.has(kind) });
    box.onchange = () => { box.checked ? state.hidden.delete(kind) : state.hidden.add(kind); refresh(); };
    const icon = Object.assign(document.createElement("canvas"), { width: 28, height: 28 });
    const c = icon.getContext("2d");
    c.scale(2, 2);
    c.fillStyle = c.strokeStyle = g.color;
    mark(c, g.shape, 7, 7, 4);
    label.append(box, icon, kind, Object.assign(document.createElement("span"), { textContent: counts.get(kind) }));
    return label;
  }

  for (const p of [...new Set(events.map(e => e.program).filter(Boolean))].sort()) {
    byId("programs").append(Object.assign(document.createElement("option"), { value: p }));
  }
  byId("program").oninput = ev => { state.program = ev.target.value.trim(); refresh(); };
  byId("text").oninput = ev => { state.text = ev.target.value.trim().toLowerCase(); refresh(); };
  byId("reset").onclick = () => { state.from = whole.from; state.to = whole.to; redraw(); };
  window.addEventListener("resize", draw);

  const measure = canvas.getContext("2d");
  measure.font = "12px system-ui, sans-serif";
  laneNames.width = Math.min(220, Math.max(60, ...vms.map(vm => measure.measureText(vm).width + 18)));
  fillKinds();
  refresh();
})();
