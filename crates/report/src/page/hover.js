// Shows the values under the pointer, and a line at the same time in all plots. The page is whole without it.
(function () {
  "use strict";
  var data = JSON.parse(document.getElementById("plots").textContent);
  var tip = document.getElementById("tip");
  var drawings = document.querySelectorAll("svg[data-plot]");
  var columns = Math.ceil(data.seconds / data.step);
  var cursors = [];

  // As the labels of the time axis.
  function clock(at) {
    var two = function (number) { return String(number).padStart(2, "0"); };
    var minutes = Math.floor(at / 60);
    if (data.seconds < 180) { return at + " s"; }
    if (data.seconds < 3600) { return minutes + ":" + two(at % 60); }
    return Math.floor(minutes / 60) + ":" + two(minutes % 60) + ":" + two(at % 60);
  }

  function row(kind, name, value) {
    var line = document.createElement(kind);
    [name, value].forEach(function (text) {
      if (text !== undefined) {
        line.appendChild(document.createElement("span")).textContent = text;
      }
    });
    return tip.appendChild(line);
  }

  function values(id, column, y, svg) {
    data.plots.forEach(function (plot) {
      if (plot.id !== id) { return; }
      plot.names.forEach(function (name, i) {
        if (plot.values[i][column] !== undefined) { row("span", name, plot.values[i][column]); }
      });
    });
    if (id !== data.heat.id) { return; }
    var panel = svg.querySelector("g[data-panel]");
    var line = Math.floor((y - panel.transform.baseVal.getItem(0).matrix.f) / data.heat.row);
    var cell = (data.heat.cells[line] || "")[column];
    if (cell !== undefined) {
      var share = cell === "." ? "not running" : cell * 10 + " to " + (cell * 10 + 10) + " % busy";
      row("span", "host " + data.heat.rows[line], share);
    }
  }

  function notes(list, from, to, style) {
    list.forEach(function (note) {
      if (note[0] >= from && note[0] < to) { row("span", note[1]).className = style; }
    });
  }

  function move(event) {
    var svg = event.currentTarget;
    var box = svg.getBoundingClientRect();
    var scale = svg.viewBox.baseVal.width / box.width;
    var part = ((event.clientX - box.left) * scale - data.left) / data.width;
    if (part < 0 || part >= 1) { return leave(); }
    var column = Math.min(Math.floor(part * data.seconds / data.step), columns - 1);
    var from = column * data.step;
    var to = Math.min(from + data.step, data.seconds);
    tip.textContent = "";
    row("b", clock(from) + " to " + clock(to));
    values(svg.dataset.plot, column, (event.clientY - box.top) * scale, svg);
    notes(data.events, from, to, "what");
    notes(data.breaches, from, to, "broken");
    tip.hidden = false;
    place(event);
    cursors.forEach(function (cursor) {
      var x = data.left + (from + to) / 2 / data.seconds * data.width;
      cursor.setAttribute("x1", x);
      cursor.setAttribute("x2", x);
      cursor.style.display = "";
    });
  }

  // Beside the pointer, on the side that has room.
  function place(event) {
    var left = event.clientX + 16;
    if (left + tip.offsetWidth > window.innerWidth - 8) { left = event.clientX - tip.offsetWidth - 16; }
    var top = Math.min(event.clientY + 12, window.innerHeight - tip.offsetHeight - 8);
    tip.style.left = Math.max(left, 8) + "px";
    tip.style.top = Math.max(top, 8) + "px";
  }

  function leave() {
    tip.hidden = true;
    cursors.forEach(function (cursor) { cursor.style.display = "none"; });
  }

  drawings.forEach(function (svg) {
    var cursor = document.createElementNS("http://www.w3.org/2000/svg", "line");
    cursor.setAttribute("class", "cursor");
    cursor.setAttribute("y1", 0);
    cursor.setAttribute("y2", svg.viewBox.baseVal.height - 40);
    cursor.style.display = "none";
    cursors.push(svg.appendChild(cursor));
    svg.addEventListener("pointermove", move);
    svg.addEventListener("pointerleave", leave);
  });
})();
