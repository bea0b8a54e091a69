package settings

import (
	"reflect"
	"sync"
)

// Keeper owns the settings in force, which are read from a file.
type Keeper struct {
	path string

	mutex   sync.Mutex
	current Settings
}

// NewKeeper returns a keeper of the settings that a file holds.
func NewKeeper(path string) (*Keeper, error) {
	loaded, err := Load(path)
	if err != nil {
		return nil, err
	}
	return &Keeper{
		path:    path,
		current: loaded,
	}, nil
}

// Current returns the settings in force.
func (keeper *Keeper) Current() Settings {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.current
}

// Reload puts into force what the file holds now and returns whether that differs; an invalid file changes nothing.
func (keeper *Keeper) Reload() (changed bool, err error) {
	loaded, err := Load(keeper.path)
	if err != nil {
		return false, err
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	changed = !reflect.DeepEqual(loaded, keeper.current)
	keeper.current = loaded
	return changed, nil
}
