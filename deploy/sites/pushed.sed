# Lists that are pushed, load told in answers only, seconds of grace for drains, long deadlines, other names:
# what may be repeated here must run once there, and the other way round.
s/^name = "skraning-reykjavik"$/name = "pushed"/
s/"transfer"/"crane-lift"/
s/"new-plate"/"yard-check"/
s/^effect = "keyed"$/effect = "unsafe"/
/^group = /d
/^window_ms = /d
s/^effect = "unsafe"$/effect = "keyed"\ngroup = "cell"\nwindow_ms = 4000/
s/^mode = "ask"$/mode = "push"/
/^capacity = /d
/^call_lines = /d
s/^probes = true$/probes = false/
s/^how = "probe"$/how = "answers"/
s/^drain_grace_ms = 300$/drain_grace_ms = 3000/
s/^max_attempts = 4$/max_attempts = 2/
s/^fall_multiple = 3$/fall_multiple = 2/
s/^cross_zone = 0.03$/cross_zone = 0.006/
s/^deadline_ms = 5000$/deadline_ms = 12000/
s/"hofdi"/"akureyri"/
