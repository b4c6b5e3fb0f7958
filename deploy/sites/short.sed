# Short times and other effects: deadlines of less than a second, a window for repeats hardly longer than a
# connection may take to come up, a grace of a second, a long time for asking. The work stays as it is: with less,
# a day of 300 schedulers has more requests than six cores play in ten minutes.
s/^name = "skraning-reykjavik"$/name = "short"/
s/"transfer"/"lien-check"/
s/"new-plate"/"inspection-slot"/
s/^effect = "unsafe"$/effect = "safe"/
s/^group = "all"$/group = "zone"/
s/^window_ms = .*$/window_ms = 400/
/^\[\[class\]\]$/,/^$/s/^deadline_ms = .*$/deadline_ms = 900/
s/^aim_ms = 120$/aim_ms = 60/
s/^aim_ms = 150$/aim_ms = 90/
s/^worth = 10$/worth = 3/
s/^worth = 30$/worth = 4/
s/^idle_s = 5$/idle_s = 2/
s/^capacity = \[3, 5\]$/capacity = [1, 1.5]/
s/^call_lines = .*$/call_lines = [40, 60]/
s/^timeout_ms = 3000$/timeout_ms = 3000\nall_call_s = [20, 30]\noverbook = 1/
s/^drain_grace_ms = 300$/drain_grace_ms = 1000/
s/"storholt-bilar"/"sudurnes-leiga"/
