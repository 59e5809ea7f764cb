package world

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"lovagestream/io/order"
)

// LoadedModels returns the models that an engine has loaded, separated by commas.
func (dep *Deployment) LoadedModels(name string) (string, error) {
	ins, err := dep.Instance(name)
	if err != nil {
		return "", err
	}
	res, err := http.Get("http://" + ins.directAddr + order.PathPlacement)
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	defer func() { _ = res.Body.Close() }()
	var bod order.PlacementBody
	if err := json.NewDecoder(res.Body).Decode(&bod); err != nil {
		return "", errors.Wrap(err, name)
	}
	return strings.Join(bod.Models, ","), nil
}
