package folder

import (
	"github.com/fsnotify/fsnotify"
)

// Notify watches a folder through file system events; it is meant for
// Watcher.Notify. Events that occur before the channel is read are merged into
// one.
func Notify(dir string) (<-chan struct{}, func(), error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, nil, &Error{Op: "watch " + dir, Kind: KindWatch, Err: err}
	}
	if err := watcher.Add(dir); err != nil {
		_ = watcher.Close()
		return nil, nil, &Error{Op: "watch " + dir, Kind: KindWatch, Err: err}
	}
	events := make(chan struct{}, 1)
	go forward(watcher, events)
	return events, func() { _ = watcher.Close() }, nil
}

// forward merges the watcher's events into the channel until the watcher is
// closed.
func forward(watcher *fsnotify.Watcher, events chan<- struct{}) {
	for {
		select {
		case _, ok := <-watcher.Events:
			if !ok {
				return
			}
		case _, ok := <-watcher.Errors:
			// An overflow means that events were lost, so the folder may have
			// changed.
			if !ok {
				return
			}
		}
		select {
		case events <- struct{}{}:
		default:
		}
	}
}
