"""Draws docs/rollout.svg from the table of docs/MEASUREMENTS.md."""

import re
import sys

WIDTH, HEIGHT, MARGIN = 640, 360, 56


def read_points(text, spread):
    pattern = r"^\| (\d+) \| " + spread + r" \| [\d.]+ \| ([\d.]+) \|"
    return [(int(n), float(s)) for n, s in re.findall(pattern, text, re.MULTILINE)]


def place(point, most_n, most_s):
    x = MARGIN + (WIDTH - 2 * MARGIN) * point[0] / most_n
    y = HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * point[1] / most_s
    return f"{x:.1f},{y:.1f}"


def main():
    text = open(sys.argv[1], encoding="utf-8").read()
    lines = {"from the origin": (read_points(text, r"origin \(baseline\)"), "#b3541e"),
             "from each other": (read_points(text, "peers"), "#1e6bb3")}
    most_n = max(n for points, _ in lines.values() for n, _ in points)
    most_s = max(s for points, _ in lines.values() for _, s in points)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
             'font-family="sans-serif" font-size="13">',
             f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
             f'<path d="M{MARGIN},{MARGIN} V{HEIGHT - MARGIN} H{WIDTH - MARGIN}" fill="none" '
             'stroke="black"/>',
             f'<text x="{WIDTH / 2}" y="{HEIGHT - 14}" text-anchor="middle">agents</text>',
             f'<text x="16" y="{MARGIN - 16}">seconds until all serve the version</text>']
    for index, (name, (points, colour)) in enumerate(lines.items()):
        path = " ".join(place(point, most_n, most_s) for point in points)
        parts.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>')
        for point in points:
            x, y = place(point, most_n, most_s).split(",")
            parts.append(f'<circle cx="{x}" cy="{y}" r="3" fill="{colour}"/>')
            parts.append(f'<text x="{x}" y="{float(y) - 8:.1f}" text-anchor="middle" '
                         f'fill="{colour}">{point[1]:.1f}</text>')
        parts.append(f'<text x="{MARGIN + 20}" y="{MARGIN + 20 + 18 * index}" fill="{colour}">'
                     f'{name}</text>')
    for n in sorted({n for points, _ in lines.values() for n, _ in points}):
        x = place((n, 0), most_n, most_s).split(",")[0]
        parts.append(f'<text x="{x}" y="{HEIGHT - MARGIN + 18}" text-anchor="middle">{n}</text>')
    parts.append("</svg>")
    print("\n".join(parts))


if __name__ == "__main__":
    main()
